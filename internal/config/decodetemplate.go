package config

// readOrganisation decodes a template body after substitution.
func readOrganisation(body map[string]any, problems *problemList) *Organisation {
	t := newTable("", body, problems)
	defer t.reportUnread()
	org := &Organisation{Groups: make(map[string]Group)}
	limits := t.table("limits")
	org.Limits.RequestsPerSecond = limits.integer("requests_per_second")
	org.Limits.Concurrency = limits.integer("concurrency")
	limits.reportUnread()
	groups := t.table("groups")
	for _, name := range groups.names() {
		org.Groups[name] = readGroup(groups.table(name))
	}
	for _, r := range t.tables("routes") {
		org.Routes = append(org.Routes, readRoute(r))
	}
	return org
}

func readGroup(t *table) Group {
	defer t.reportUnread()
	return Group{
		Service:           t.str("service"),
		AvailabilityZones: t.strings("availability_zones"),
	}
}

func readRoute(t *table) Route {
	defer t.reportUnread()
	r := Route{
		Name:       t.str("name"),
		Methods:    t.strings("methods"),
		Path:       t.str("path"),
		Group:      t.str("group"),
		Deadline:   t.duration("deadline"),
		Repeatable: t.boolean("repeatable"),
		Upload:     t.boolean("upload"),
		Download:   t.boolean("download"),
	}
	if _, given := t.lookup("repeatable"); r.Download && !given {
		r.Repeatable = true
	}
	return r
}

// readParameters decodes the parameter declarations of a template.
func readParameters(t *table) map[string]Parameter {
	declared := make(map[string]Parameter)
	for _, name := range t.names() {
		d := t.table(name)
		p := Parameter{
			Type: d.str("type"),
			Min:  d.optionalInteger("min"),
			Max:  d.optionalInteger("max"),
		}
		p.Default, _ = d.lookup("default")
		d.reportUnread()
		p.validate(name, d)
		declared[name] = p
	}
	return declared
}

// validate adds the defects of a parameter declaration.
func (p Parameter) validate(name string, t *table) {
	if !parameterNamePattern.MatchString(name) {
		t.problems.add(t.key, "want a lower-case name of letters, digits and '_'")
	}
	if !knownType(p.Type) {
		t.problems.add(t.path("type"), "unknown type %q: want integer, boolean, string, duration or list", p.Type)
		return
	}
	if p.Type != TypeInteger && (p.Min != nil || p.Max != nil) {
		t.problems.add(t.key, "min and max are for integers only")
	}
	if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
		t.problems.add(t.path("min"), "%d is above max %d", *p.Min, *p.Max)
	}
	if p.Default == nil {
		return
	}
	if msg := p.check(p.Default); msg != "" {
		t.problems.add(t.path("default"), "%s", msg)
	}
}
