package snapshot

// Exported for tests that build files of formats that this program does not write.
var (
	EncodeFile     = encodeFile
	DecodeSections = decodeSections
)

// Section is exported for tests.
type Section = section

// NewSection returns a section with the given body.
func NewSection(name string, critical bool, body string) Section {
	s := section{name: name, body: []byte(body)}
	if critical {
		s.flags = flagCritical
	}
	return s
}
