package settings_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarhoist.example/settings"
)

// FuzzParse guards against settings that are accepted with an invalid value,
// and against an error without any problem.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validSettings, `{}`, `null`, `[]`, "", `{"instance":1,"seeds":[1,"a"]}`, `{"shared_key":{"file":"f","value":"v"}}`, `{"instance":"a","instance":"b"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		s, err := settings.Parse(data)
		if err == nil {
			g.Expect(s.Validate()).To(BeEmpty())
			return
		}
		g.Expect(s).To(BeNil())
		var invalid *settings.InvalidError
		g.Expect(errors.As(err, &invalid)).To(BeTrue())
		g.Expect(invalid.Problems).NotTo(BeEmpty())
		g.Expect(invalid.Error()).NotTo(BeEmpty())
	})
}
