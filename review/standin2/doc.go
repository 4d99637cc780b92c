// Command standin2 runs the cases of the second independent review. Each case starts the
// programs gateway and hub as separate processes on loopback addresses, beside engines, clients
// and an operator that follow the protocol pages, brings about one disruption and checks one
// rule by what clients, engines and the operator have seen.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// FOLDER is the folder of the case, in which record.txt is written. With TROUBLE=0 in the
// environment there is no disruption. The exit status is 0 if the rule held, 1 if it was broken
// and 2 if the case could not run.
package main
