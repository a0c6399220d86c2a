package cli

// Example returns the example for the help text.
func (*ServeCommand) Example() string { return "cicadawall serve --settings instance.yaml" }

// Example returns the example for the help text.
func (*ConfigValidate) Example() string { return "cicadawall config validate declaration.yaml" }

// Example returns the example for the help text.
func (*ConfigDiff) Example() string { return "cicadawall config diff declaration.yaml" }

// Example returns the example for the help text.
func (*ConfigApply) Example() string {
	return "cicadawall config apply --base 41 --author ada declaration.yaml"
}

// Example returns the example for the help text.
func (*ConfigShow) Example() string { return "cicadawall config show > declaration.yaml" }

// Example returns the example for the help text.
func (*ConfigStatus) Example() string {
	return "cicadawall config status --operator-url https://10.0.0.4:8081"
}

// Example returns the example for the help text.
func (*StatusCommand) Example() string {
	return "cicadawall status --operator-url https://10.0.0.4:8081"
}

// Example returns the example for the help text.
func (*ExplainCommand) Example() string {
	return "cicadawall explain --organisation arena-north --class size-check"
}
