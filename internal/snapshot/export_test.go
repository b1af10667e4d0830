package snapshot

// Tests of the format use these to make files that this program does not write.
var (
	EncodeFile     = encodeFile
	DecodeSections = decodeSections
)

type Section = section

func NewSection(name string, critical bool, body string) Section {
	s := section{name: name, body: []byte(body)}
	if critical {
		s.flags = flagCritical
	}
	return s
}
