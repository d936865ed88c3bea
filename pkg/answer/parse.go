package answer

import (
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// ParseID parses the form that ID.String returns. ok is false for any other text.
func ParseID(text string) (id ID, ok bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return ID{}, false
	}
	incarnation, err := uuid.Parse(parts[0])
	if err != nil {
		return ID{}, false
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, false
	}
	attempt, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil {
		return ID{}, false
	}
	return ID{Incarnation: incarnation, Sequence: sequence, Attempt: uint32(attempt)}, true
}
