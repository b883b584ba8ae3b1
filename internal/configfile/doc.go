// Package configfile reads and writes the operators' configuration as INI.
//
// Each section holds one object. Its heading gives the kind and the name of the object:
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
// Routes are tried in the order of the file. Failure domains that are taken out are
// not part of the file: only the domain command changes them, so that publishing a
// file never brings one back.
package configfile
