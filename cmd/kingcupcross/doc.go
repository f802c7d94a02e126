// Command kingcupcross is the query tier and its operators' tool.
package main
