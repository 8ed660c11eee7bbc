// Package replayer replays a decision trace of an entry VM through the router and compares the answers with expected outcomes.
//
// A recorded fault thereby becomes a regression test: the trace holds the events, and the outcomes file the expected answers.
package replayer
