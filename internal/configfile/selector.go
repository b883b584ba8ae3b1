package configfile

import (
	"slices"

	"github.com/go-faster/errors"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"

	"github.com/dogwoodgauge/dogwoodgauge/core/config"
	"github.com/dogwoodgauge/dogwoodgauge/core/label"
)

// maxSelectorBytes is the longest text of a selector or a label set, in bytes.
const maxSelectorBytes = 16 << 10

// ParseSelector parses a selector such as
//
//	key=value, key!=value, key in (a,b), key notin (a,b), key, !key
//
// Its requirements are sorted by key.
func ParseSelector(text string) (label.Selector, error) {
	if len(text) > maxSelectorBytes {
		return nil, errors.Errorf("the selector has %d bytes, more than the limit of %d", len(text), maxSelectorBytes)
	}
	requirements, err := labels.ParseToRequirements(text)
	if err != nil {
		return nil, err
	}
	var sel label.Selector
	for _, r := range requirements {
		converted, err := convertRequirement(r)
		if err != nil {
			return nil, err
		}
		sel = append(sel, converted)
	}
	return sel, config.ValidateSelector(sel)
}

// convertRequirement returns r with its values sorted and without duplicates.
func convertRequirement(r labels.Requirement) (label.Requirement, error) {
	out := label.Requirement{Key: r.Key()}
	switch r.Operator() {
	case selection.Equals, selection.DoubleEquals, selection.In:
		out.Operator = label.In
	case selection.NotEquals, selection.NotIn:
		out.Operator = label.NotIn
	case selection.Exists:
		out.Operator = label.Exists
		return out, nil
	case selection.DoesNotExist:
		out.Operator = label.NotExists
		return out, nil
	default:
		return out, errors.Errorf("operator %q on %q is not supported", r.Operator(), r.Key())
	}
	out.Values = slices.Compact(slices.Sorted(slices.Values(r.ValuesUnsorted())))
	return out, nil
}

// ParseLabels parses a label set such as "key=value,other=value".
func ParseLabels(text string) (label.Set, error) {
	if len(text) > maxSelectorBytes {
		return nil, errors.Errorf("the labels have %d bytes, more than the limit of %d", len(text), maxSelectorBytes)
	}
	sel, err := ParseSelector(text)
	if err != nil {
		return nil, err
	}
	set := make(label.Set, len(sel))
	for _, r := range sel {
		if r.Operator != label.In || len(r.Values) != 1 {
			return nil, errors.Errorf("%q is no label, want key=value", config.SelectorString(label.Selector{r}))
		}
		if _, ok := set[r.Key]; ok {
			return nil, errors.Errorf("label %q is given twice", r.Key)
		}
		set[r.Key] = r.Values[0]
	}
	return set, nil
}
