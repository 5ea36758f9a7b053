package result

import (
	"fmt"
	"slices"
	"strings"
)

// groupSize is the count of numbers reserved for each group of codes.
const groupSize = 100

// groupTitles holds the title of each group, by its codes divided by groupSize.
var groupTitles = map[Code]string{
	10: "the caller's request",
	12: "refusals for want of room or time",
	13: "the end of an attempt",
	14: "the state of a daemon",
	15: "operators' calls",
	16: "settings and charts",
	17: "journal and quorum",
	18: "orders to engines",
	19: "faults inside carawaypitch",
}

// byCode holds the rows of table by code.
var byCode = indexByCode(table)

func indexByCode(rows []Info) map[Code]Info {
	m := make(map[Code]Info, len(rows))
	for _, row := range rows {
		m[row.Code] = row
	}
	return m
}

// Table returns a copy of the table of codes, sorted by code.
func Table() []Info {
	return slices.Clone(table)
}

// Markdown returns the table of codes as a Markdown page, which is the content of docs/CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Made from `result/table.go` by `go test ./result -update`; don't edit it by hand.\n\n")
	b.WriteString("`ran` lists what a reply with the code may say about the work. `no` is a promise: no engine or\n")
	b.WriteString("service began it, and none will. `unknown` is said whenever neither `no` nor `yes` can be proved.\n")
	group := Code(0)
	for _, info := range table {
		if g := info.Code / groupSize; g != group {
			group = g
			writeGroup(&b, g)
		}
		writeRow(&b, info)
	}
	return b.String()
}

func writeGroup(b *strings.Builder, group Code) {
	fmt.Fprintf(b, "\n## %dxx: %s\n\n", uint16(group), groupTitles[group])
	b.WriteString("| code | name | status | ran | meaning | what to do |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
}

func writeRow(b *strings.Builder, i Info) {
	fmt.Fprintf(b, "| %d | `%s` | %d | %s | %s | %s |\n", uint16(i.Code), i.Name, i.Status, i.Ran, i.Message, i.Advice)
}
