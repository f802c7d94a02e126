// Package tree implements the settings tree: settings made for an organisation, a region or a service, their inheritance from level to level, and changes with their validation.
package tree
