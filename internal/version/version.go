// Package version provides the version of the programs.
package version

import "runtime/debug"

// Number is the version of this source tree.
const Number = "0.1.0"

// String returns the version, followed by "+" and the VCS revision if the build
// recorded one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Number + "+" + setting.Value
		}
	}
	return Number
}
