// Package plotter writes the results of load runs as Markdown and CSV tables and as a plot of the latency quantiles.
package plotter
