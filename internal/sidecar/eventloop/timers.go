package eventloop

// This file is the heap of timers that the module has set.

// timer is a SetTimer of the module.
type timer struct {
	due   float64
	token uint64
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(v any) { *t = append(*t, v.(timer)) }

func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
