package report_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/report"
)

// Guards against a report that counts a refused caller's repeats as prompts of their own, which makes the refused lengths
// look worse than they are, or that counts prompts of one gateway only.
func TestLengths(t *testing.T) {
	ended := func(fields string) string { return `{"msg":"request ended",` + fields + "}\n" }
	cases := map[string]struct {
		logs []string
		want map[string]string
	}{
		"repeat at another gateway": {
			[]string{
				ended(`"route":"review","fingerprint":"a","outcome":"refused-overloaded","prompt":400000`) +
					ended(`"route":"review","fingerprint":"b","outcome":"refused-overloaded","prompt":300000`),
				"2.5 front-1 " + ended(`"route":"review","fingerprint":"a","outcome":"answered","prompt":400000`),
			},
			map[string]string{"review": "answered 1 of 2, 512k: 1 of 2"},
		},
		"routes apart": {
			[]string{ended(`"route":"draft","outcome":"answered","prompt":500`) + ended(`"route":"review","outcome":"failed-deadline","prompt":400000`)},
			map[string]string{
				"draft":  "answered 1 of 1, 8k: 1 of 1",
				"review": "answered 0 of 1, 512k: 0 of 1",
			},
		},
		"other lines": {
			[]string{`{"msg":"sent","prompt":5}` + "\n{\"request ended\"\nno brace\n" + ended(`"route":"desk","outcome":"answered","prompt":0`)},
			map[string]string{},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := report.NewLengths()
			for _, log := range tc.logs {
				assert.NilError(t, l.ReadLog(strings.NewReader(log)))
			}
			got := map[string]string{}
			for _, r := range l.Routes() {
				got[r.Route] = report.Text(r.Shares)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
