// Package replayer replays a decision trace of an entry VM through the router and checks the answers of the replay against
// stated outcomes.
//
// A recorded fault thereby stays a test: the trace holds what happened, and the outcomes say what has to be answered.
package replayer
