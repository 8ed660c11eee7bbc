// Package ranker decides which requests go first when there is too little room at the upstreams or too few tokens for extra sends. Its answer is
// what costs callers least: by rank, by latency target, and by what is lost without the turn or the token.
package ranker
