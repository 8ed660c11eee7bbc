// Package describer reads the INI file that describes a deployment of upstream servers: services, groups, replicas, their limits,
// failure domains and index layouts.
//
// The fake upstreams, the operators' table and the load generator are all derived from the same file, so that their sizes and
// addresses are consistent.
package describer
