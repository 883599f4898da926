// Package dev runs a whole small deployment in one process on loopback: the
// real entry and agent daemons, a stand-in of the platform's store and a
// stand-in upstream beside each agent, with the network delays of the
// deployment added where connections are dialled. It is for newcomers, tests
// and experiments and never part of production.
package dev
