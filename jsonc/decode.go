package jsonc

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// decodeValue decodes one value into target and adds a finding for each mismatch. null
// is treated as an absent field.
func (d *Document) decodeValue(v *hujson.Value, target reflect.Value, path string) {
	if literal, ok := v.Value.(hujson.Literal); ok && string(literal) == "null" {
		return
	}
	if target.CanAddr() && target.Addr().Type().Implements(unmarshalerType) {
		d.decodeLeaf(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, target, path)
	case reflect.Slice:
		if target.Type().Elem().Kind() == reflect.Uint8 {
			d.decodeLeaf(v, target, path)
			return
		}
		d.decodeSlice(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(v, target.Elem(), path)
	default:
		d.decodeLeaf(v, target, path)
	}
}

func (d *Document) decodeStruct(v *hujson.Value, target reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addAt(v.StartOffset, path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := path + "/" + escapeToken(name)
		if seen[name] {
			d.addAt(m.Name.StartOffset, fieldPath, "duplicate field")
			continue
		}
		seen[name] = true
		field, found := fieldByName(target, name)
		if !found {
			d.addAt(m.Name.StartOffset, fieldPath, "unknown field")
			continue
		}
		d.decodeValue(&m.Value, field, fieldPath)
	}
}

func (d *Document) decodeSlice(v *hujson.Value, target reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addAt(v.StartOffset, path, "must be an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.decodeValue(&arr.Elements[i], target.Index(i), path+"/"+strconv.Itoa(i))
	}
}

func (d *Document) decodeLeaf(v *hujson.Value, target reflect.Value, path string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target.Addr().Interface()); err != nil {
		d.addAt(v.StartOffset, path, unmarshalMessage(err, target))
	}
}

func unmarshalMessage(err error, target reflect.Value) string {
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		return "must be " + kindName(target.Kind()) + ", not " + typeErr.Value
	}
	return err.Error()
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a base64 string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	}
	return "a " + k.String()
}

// fieldByName returns the struct field with the given name in its json tag.
func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "-" {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// escapeToken escapes a name for use as a token of a JSON pointer (RFC 6901).
func escapeToken(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
