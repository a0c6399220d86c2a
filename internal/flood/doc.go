// Package flood holds tests of crowds of hostile callers. They start an instance as a process of its own with lowered limits, open several
// hundred connections to it, and check only what does not depend on the speed of the machine: the process lives, its memory and descriptors
// stay within its settings, and an ordinary request is answered while the crowd is still connected. They run apart from other load.
package flood
