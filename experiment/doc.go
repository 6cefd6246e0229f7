// Package experiment measures the scheduler core under seeded loads.
// It drives real sched.Nodes in virtual time: requests arrive and run for a random cost;
// messages between nodes are delayed and encoded to count their bytes. Three designs run on
// the same load: the fleet, local queues with a fixed split of the slots, and one omniscient
// scheduler without delay. The package benchmarks scheduling decisions; it doesn't simulate
// a cluster.
package experiment
