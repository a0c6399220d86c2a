//go:build review

package main

func caseDeadly() {}
