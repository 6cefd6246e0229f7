package jsonc

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// walk decodes one value into target and notes what doesn't fit. null is as good
// as a field that is not there.
func (d *Document) walk(v *hujson.Value, target reflect.Value, path string) {
	if literal, ok := v.Value.(hujson.Literal); ok && string(literal) == "null" {
		return
	}
	if target.CanAddr() && target.Addr().Type().Implements(unmarshaler) {
		d.leaf(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.walkStruct(v, target, path)
	case reflect.Slice:
		if target.Type().Elem().Kind() == reflect.Uint8 {
			d.leaf(v, target, path)
			return
		}
		d.walkSlice(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.walk(v, target.Elem(), path)
	default:
		d.leaf(v, target, path)
	}
}

func (d *Document) walkStruct(v *hujson.Value, target reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addAt(v.StartOffset, path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := path + "/" + escape(name)
		if seen[name] {
			d.addAt(m.Name.StartOffset, at, "field stands twice")
			continue
		}
		seen[name] = true
		field, known := fieldNamed(target, name)
		if !known {
			d.addAt(m.Name.StartOffset, at, "unknown field")
			continue
		}
		d.walk(&m.Value, field, at)
	}
}

func (d *Document) walkSlice(v *hujson.Value, target reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addAt(v.StartOffset, path, "must be an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.walk(&arr.Elements[i], target.Index(i), path+"/"+strconv.Itoa(i))
	}
}

func (d *Document) leaf(v *hujson.Value, target reflect.Value, path string) {
	plain := v.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), target.Addr().Interface()); err != nil {
		d.addAt(v.StartOffset, path, leafMessage(err, target))
	}
}

func leafMessage(err error, target reflect.Value) string {
	if wrong, ok := err.(*json.UnmarshalTypeError); ok {
		return "must be " + kindName(target.Kind()) + ", not " + wrong.Value
	}
	return err.Error()
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a string of base64"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	}
	return "a " + k.String()
}

// fieldNamed finds the struct field with the json name.
func fieldNamed(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "-" {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// escape writes a name as a part of a JSON pointer (RFC 6901).
func escape(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
