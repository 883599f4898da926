package config

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against tasks that start outside the regions of their template, or in none of
// their data centres, and against lists that together allow none without a report.
func TestRegionsOfTemplates(t *testing.T) {
	d := &Document{Accounts: []Account{{Name: "a"}}}
	for _, names := range [][2]string{{"anping", "tainan"}, {"rende", "tainan"}, {"boa-vista", "recife"}, {"derby", "recife"}, {"mermoz", "dakar"}} {
		d.DataCentres = append(d.DataCentres, DataCentre{Name: names[0], Region: names[1], InService: true})
	}
	for _, tc := range []struct {
		dataCentres, regions, want []string
		problem                    string
	}{
		{nil, nil, nil, ""},
		{[]string{"derby"}, nil, []string{"derby"}, ""},
		{nil, []string{"tainan"}, []string{"anping", "rende"}, ""},
		{nil, []string{"recife", "dakar"}, []string{"boa-vista", "derby", "mermoz"}, ""},
		{[]string{"derby", "anping"}, []string{"recife"}, []string{"derby"}, ""},
		{[]string{"derby"}, []string{"tainan"}, nil, "templates[0].regions: none of data_centres is in them; nothing could start"},
	} {
		d.Templates = []Template{{Name: "t", Account: "a", Kind: KindRequest, DeadlineMS: 1000, DataCentres: tc.dataCentres, Regions: tc.regions}}
		if tc.problem != "" {
			qt.Check(t, d.Validate().Error(), qt.Equals, "config: invalid document: "+tc.problem)
			continue
		}
		qt.Assert(t, d.Validate(), qt.IsNil)
		got, _ := NewView(d).Template("t")
		qt.Check(t, got.DataCentres, qt.DeepEquals, tc.want)
		qt.Check(t, d.Templates[0].Regions, qt.DeepEquals, tc.regions) // the document is not changed
	}
}
