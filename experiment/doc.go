// Package experiment measures the scheduler core under seeded loads.
//
// It drives real sched.Nodes in virtual time: requests arrive, run for a drawn
// cost, and messages between nodes take a drawn delay and are encoded to count
// their bytes. Three designs run on the same load: the fleet, local queues with
// a fixed split of the slots, and one omniscient scheduler without delay. It is
// a benchmark of decisions, not a simulator of a cluster.
package experiment
