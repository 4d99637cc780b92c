// Package schematest draws wire messages that a correct process would never send.
//
// # Usage
//
//	rapid.Check(t, func(t *rapid.T) {
//		in := &schema.WatchRequest{}
//		schematest.Draw(t, in)
//		...
//	})
//
// It is imported by tests only.
package schematest

import (
	"math"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"
)

const (
	// maxDepth bounds the messages within messages.
	maxDepth = 3
	// maxElements bounds the elements of a list.
	maxElements = 3
)

// Words are the strings that fields get besides arbitrary ones. Tests add those that lead
// a message past the first checks.
type Words []string

// Draw sets the fields of a message to values from the whole range of their types.
func Draw(t *rapid.T, m proto.Message, words ...string) {
	drawer{t: t, words: append(Words{"", "a", "ready", "gone", "leaving", "10.0.0.1:80", "http://10.0.0.1:80"}, words...)}.message(m.ProtoReflect(), 0)
}

type drawer struct {
	t     *rapid.T
	words Words
}

func (d drawer) message(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		name := string(f.Name())
		if rapid.IntRange(0, 4).Draw(d.t, name+" is set") == 0 {
			continue
		}
		switch {
		case f.IsList():
			list := m.Mutable(f).List()
			for range rapid.IntRange(0, maxElements).Draw(d.t, "elements of "+name) {
				if f.Kind() != protoreflect.MessageKind {
					list.Append(d.scalar(f))
				} else if depth < maxDepth {
					d.message(list.AppendMutable().Message(), depth+1)
				}
			}
		case f.IsMap():
		case f.Kind() == protoreflect.MessageKind:
			if depth < maxDepth {
				d.message(m.Mutable(f).Message(), depth+1)
			}
		default:
			m.Set(f, d.scalar(f))
		}
	}
}

func (d drawer) scalar(f protoreflect.FieldDescriptor) protoreflect.Value {
	name := string(f.Name())
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(d.t, name))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(rapid.OneOf(rapid.SampledFrom([]int32{-1, 0, 1, 9, math.MinInt32, math.MaxInt32}), rapid.Int32()).Draw(d.t, name))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(rapid.OneOf(rapid.SampledFrom([]int64{-1, 0, 1, 9, math.MinInt64, math.MaxInt64}), rapid.Int64()).Draw(d.t, name))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(rapid.Uint32().Draw(d.t, name))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(rapid.OneOf(rapid.SampledFrom([]uint64{0, 1, 2, 3, 4, 5, 6, math.MaxUint64}), rapid.Uint64()).Draw(d.t, name))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.SampledFrom([]float64{0, 1, -1, 1e308, math.NaN(), math.Inf(1), math.Inf(-1)}).Draw(d.t, name))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(d.t, name))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(rapid.Int32Range(-1, 9).Draw(d.t, name)))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(d.words).Draw(d.t, name))
	}
	return f.Default()
}
