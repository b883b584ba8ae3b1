// Package configfile reads and writes the operators' configuration as INI.
//
// Each section holds one object and is named by its kind and name:
//
//	[domain recife-a]
//	labels = region=northeast
//
//	[worker rack1-w3]
//	labels = rack=1,disk=ssd
//
//	[upstream orders-7]
//	labels = tier=gold
//
//	[team shop]
//	quota = 400
//	class = urgent
//
//	[route checkout]
//	tasks = team=shop,kind in (checkout,slot)
//	upstreams = tier=gold,!draining
//
// Routes are tried in the order of the file. Failure domains that are taken out
// are no part of the file: they change by command, and publishing a file never
// brings one back.
package configfile
