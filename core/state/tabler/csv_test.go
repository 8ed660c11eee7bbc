package tabler

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func exampleTable() []*Value {
	point := &Value{Service: NewServiceRow("profiles")}
	point.Service.Kind, point.Service.Callers = KindPoint, nil
	return []*Value{{Service: NewServiceRow(FleetService), Fleet: Fleet{Max: 9}}, exampleValue(), point}
}

// TestCSVRoundTrip guards against a cell that is lost between export and import, also after a spreadsheet program reordered
// rows and columns and added a byte order mark and empty lines.
func TestCSVRoundTrip(t *testing.T) {
	var b bytes.Buffer
	if err := WriteCSV(&b, append(exampleTable(), &Value{Service: NewServiceRow("gone"), Removed: true})); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	for i, l := range lines {
		first, rest, _ := strings.Cut(l, ",")
		lines[i] = rest + "," + first
	}
	moved := "\ufeff" + lines[0]
	for i := len(lines) - 1; i > 0; i-- {
		moved += "\r\n" + lines[i] + "\r\n" + strings.Repeat(",", strings.Count(lines[0], ","))
	}
	for name, text := range map[string]string{"as written": b.String(), "moved": moved} {
		got, err := ReadCSV(strings.NewReader(text))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		want := exampleTable()
		want[1].Revision, want[1].Edits = 0, nil
		if diff := cmp.Diff(want, got, anyOrder); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// TestReadCSVListsEveryError guards against an import that drops a cell or stops at the first invalid cell.
func TestReadCSVListsEveryError(t *testing.T) {
	text := "row,service,upstream,max,queue,weight,address\n" +
		"fleet,,,many,,,\n" +
		"service,matching,,,1,5,\n" +
		"service,matching,,,2,,\n" +
		"upstream,roster,r0,,,1,127.0.0.1:1\n" +
		"server,roster,r1,,,,\n"
	_, err := ReadCSV(strings.NewReader(text))
	var errs FieldErrors
	if !errors.As(err, &errs) {
		t.Fatalf("error is %v, want FieldErrors", err)
	}
	var got []string
	for _, f := range errs {
		got = append(got, f.Service+"/"+f.Upstream+"."+f.Field+"="+f.Value)
	}
	want := []string{"_fleet/.max=many", "matching/.weight=5", "matching/.row=service", "roster/r1.row=server", "roster/.row="}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("invalid cells (-want +got):\n%s", diff)
	}
}

// FuzzReadCSV guards against an import that panics, or that accepts rows which an export and a second import change.
func FuzzReadCSV(f *testing.F) {
	var b bytes.Buffer
	if err := WriteCSV(&b, exampleTable()); err != nil {
		f.Fatal(err)
	}
	f.Add(b.String())
	f.Add("row,service,upstream\nservice,a,\n")
	f.Add("row,service,upstream\n\"")
	f.Fuzz(func(t *testing.T, text string) {
		values, err := ReadCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := WriteCSV(&b, values); err != nil {
			t.Fatal(err)
		}
		again, err := ReadCSV(&b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(values, again, anyOrder); diff != "" {
			t.Fatalf("(-first +again):\n%s", diff)
		}
	})
}
