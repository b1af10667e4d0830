package balance

// server is what this sidecar knows of one server. Each embedded type belongs to the decision that writes it.
type server struct {
	Server       // the newest entry that counts
	listing      // of endpointList
	candidacy    // of picker
	faultRecord  // of outlierDetector
	warmUp       // of slowStart
	healthReport // of healthChecker

	zone       *zone
	size       float64          // learned logarithm of its size, beyond that of its kind and zone; of capacityModel
	evidenceAt milliseconds     // when it last counted as evidence against its zone; of locality
	placements []routePlacement // its place in each route, by slot; of canaryRouter
	inFlight   int              // attempts of this process
}
