// Package configloader loads the settings of the entry daemon from an INI file and validates them as a whole.
//
// It reports all errors of a file at once, so that an operator does not have to start the daemon once for each error.
package configloader
