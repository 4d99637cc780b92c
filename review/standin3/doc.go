// Command standin3 plays the cases of the third review. It starts the programs of the deploy
// file as separate processes on loopback addresses, together with engines, callers and an
// operator of its own, and checks one rule of the platform's pages for each case.
//
// # Usage
//
//	standin3 CASE FOLDER
//
// CASE is one of the names in main.go. What was sent, answered and run goes to record.txt in
// FOLDER. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment, the disruption of the case is left out.
package main
