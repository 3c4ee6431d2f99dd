// Program rig shows faults of the system to an independent review. It starts nodes as separate processes with the
// command of the deploy file, and plays the platform's store, engines, consumers and the operator beside them, as the
// users' pages tell.
//
// Its argument names a case. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. TROUBLE=0 in its environment leaves the disruption out.
package main
