// Package plotter writes the outcome of runs as Markdown and CSV tables and as a plot of the latency quantiles.
package plotter
