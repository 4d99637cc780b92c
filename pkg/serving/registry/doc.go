// Package registry is the replicated state machine of the configuration: the
// objects that operators create, their names in several naming schemes, the
// change history, the results of commands, and the order claims that make a
// call that must not be repeated run at most once.
//
// A [Machine] is deterministic. Equal commands in equal order give equal results
// and equal snapshots, so replicas may differ in nothing that [Config] sets.
// Time enters only through the now_ms field of a command, and the machine never
// lets it go back.
//
// # Usage
//
// A replica of the log applies marshaled [schema.Command] messages and gets
// marshaled [schema.CommandResult] messages:
//
//	m, err := registry.New(registry.Config{Schemes: []string{"catalog", "legacy", "site"}})
//	result := m.Apply(index, command)
//
// The RPC server reads through [Machine.Read], [Machine.History],
// [Machine.ConfigView] and [Machine.Lookup], which may be called while commands
// are applied. An entry builds a [View] from the configuration it received and
// brings it up to date with the changes since:
//
//	view, err := registry.NewView(config)
//	view, err = view.Update(changes)
//	id, account, ok := view.AccountByKey("secret")
//
// A change that is refused before the machine looks at its content (no command
// id, issue time missing, expired or ahead of the leader's clock), or because its
// command id was used with other content, leaves no result behind. Every other
// result is kept for [Config.ResultRetention].
package registry
