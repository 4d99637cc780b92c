package settings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Duration is a time span that is written with its unit, such as 500ms.
type Duration struct{ time.Duration }

// UnmarshalYAML decodes a duration, which must have a unit and not be negative.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	v, err := time.ParseDuration(n.Value)
	if err != nil || v < 0 {
		return valueError(n, "is not a duration", "write a number with a unit of ms, s, m or h, like 500ms")
	}
	d.Duration = v
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// Size is a number of bytes that is written with its unit, such as 1MiB.
type Size struct{ serving.Bytes }

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalYAML decodes a size, which must have a unit.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(n.Value, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.bytes {
			break
		}
		s.Bytes = serving.Bytes(v * u.bytes)
		return nil
	}
	return valueError(n, "is not a size", "write a whole number with a unit of B, KiB, MiB or GiB, like 1MiB")
}

// MarshalYAML writes the size in bytes.
func (s Size) MarshalYAML() (any, error) { return strconv.FormatInt(int64(s.Bytes), 10) + "B", nil }

// Address is an IP address and a port.
type Address string

// UnmarshalYAML decodes an address. Host names are refused, since processes connect
// by IP address.
func (a *Address) UnmarshalYAML(n *yaml.Node) error {
	if _, err := netip.ParseAddrPort(n.Value); err != nil {
		return valueError(n, "is not an address", "write an IP number and a port, like 10.0.0.1:7000")
	}
	*a = Address(n.Value)
	return nil
}
