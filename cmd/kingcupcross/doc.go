// Command kingcupcross runs the hosts of the query tier and the commands for its callers and operators.
package main
