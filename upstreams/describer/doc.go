// Package describer reads the INI file that describes a deployment of upstream servers: services, groups, replicas, their
// limits, failure domains and index layouts.
//
// The fake upstreams, the printed operators' table and the load tool all derive their view from the same file, so that
// their sizes and addresses cannot disagree.
package describer
