// Package configloader reads the INI settings of a process and checks them as a whole.
//
// A faulty settings file is reported with every fault at once, so that an operator does not need one start for each fault.
package configloader
