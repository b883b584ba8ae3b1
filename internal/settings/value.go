package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dogwoodgauge/dogwoodgauge/core/node"
	"github.com/dogwoodgauge/dogwoodgauge/core/policy/placement"
)

// namePattern limits names to characters that are safe in messages and job IDs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,63}$`)

var sizeUnits = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"", 1},
}

// ParseSize parses a positive number of bytes such as 512, 64KiB or 32MiB.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n <= 0 || n > (1<<62)/unit.factor {
			break
		}
		return Size(n * unit.factor), nil
	}
	return 0, errors.New("want a size such as 512, 64KiB, 32MiB or 1GiB")
}

// parseValue sets v to the value that text describes. It panics when it has no parser
// for the type of v.
func parseValue(v reflect.Value, text string) error {
	var err error
	switch p := v.Addr().Interface().(type) {
	case *string:
		*p, err = parseName(text)
	case *node.ID:
		var id string
		id, err = parseName(text)
		*p = node.ID(id)
	case *Path:
		*p = Path(text)
	case *Role:
		*p, err = oneOf(text, RoleEntry, RoleAgent, RoleDispatcher, RoleLessee)
	case *Exporter:
		*p, err = oneOf(text, ExporterOff, ExporterFile, ExporterOTLP)
	case *Placement:
		*p, err = oneOf(text, placements()...)
	case *int:
		*p, err = parseCount(text)
	case *float64:
		*p, err = parseFraction(text)
	case *Factor:
		*p, err = parseFactor(text)
	case *bool:
		*p, err = parseBool(text)
	case *time.Duration:
		*p, err = parseDuration(text)
	case *Delay:
		*p, err = parseDelay(text)
	case *OutageLimit:
		*p, err = parseOutageLimit(text)
	case *Size:
		*p, err = ParseSize(text)
	case *netip.AddrPort:
		*p, err = parseAddress(text)
	case *[]netip.AddrPort:
		*p, err = parseAddresses(text)
	default:
		panic("no parser for settings of type " + v.Type().String())
	}
	return err
}

func parseName(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", errors.New("want 1 to 63 letters, digits, hyphens or underscores")
	}
	return text, nil
}

func placements() []Placement {
	all := make([]Placement, len(placement.Names))
	for i, n := range placement.Names {
		all[i] = Placement(n)
	}
	return all
}

func oneOf[T ~string](text string, values ...T) (T, error) {
	if slices.Contains(values, T(text)) {
		return T(text), nil
	}
	return "", fmt.Errorf("want one of %v", values)
}

func parseCount(text string) (int, error) {
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, errors.New("want a whole number that is not negative")
	}
	return int(n), nil
}

func parseFraction(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= 1) {
		return 0, errors.New("want a number from 0 to 1")
	}
	return f, nil
}

func parseFactor(text string) (Factor, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || f != 0 && !(f >= 1 && f <= maxFactor) {
		return 0, fmt.Errorf("want 0 or a number from 1 to %d", maxFactor)
	}
	return Factor(f), nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.New("want true or false")
	}
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.New("want a positive duration with its unit such as 250ms, 2.5s or 5m")
	}
	return d, nil
}

func parseDelay(text string) (Delay, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errors.New("want a duration that is not negative with its unit such as 0s, 500ms or 2s")
	}
	return Delay(d), nil
}

func parseOutageLimit(text string) (OutageLimit, error) {
	if text == "none" {
		return noLimit, nil
	}
	d, err := parseDuration(text)
	if err != nil {
		return 0, errors.New("want none or a positive duration with its unit such as 30s, 10m or 2h")
	}
	return OutageLimit(d), nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.New("want an IP address and port such as 10.0.0.7:7101")
	}
	return a, nil
}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		a, err := parseAddress(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
