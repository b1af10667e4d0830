package balance

// server is the state of one server. Each embedded struct belongs to the component that writes it.
type server struct {
	Server        // the newest accepted list entry
	listing       // written by endpointList
	candidacy     // written by picker
	failureRecord // written by outlierDetector
	warmUp        // written by slowStart
	healthReport  // written by healthChecker

	zone       *zone
	logSize    float64          // learned log size without the terms of its kind and zone; written by capacityModel
	evidenceAt milliseconds     // when it last counted as evidence against its zone; written by locality
	placements []routePlacement // its placement in each route, by slot; written by canaryRouter
	inFlight   int              // attempts of this process in flight
}
