# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_tanagerdeal_global_optspecs
    string join \n h/help V/version
end

function __fish_tanagerdeal_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_tanagerdeal_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_tanagerdeal_using_subcommand
    set -l cmd (__fish_tanagerdeal_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -s V -l version -d 'Print version'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "run" -d 'Serve clients'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "check" -d 'Test a settings file'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "settings" -d 'List all settings'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "serve" -d 'Serve clients on a platform whose store carries all coordination'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "completions" -d 'Print a shell completion'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "man" -d 'Print the manual page'
complete -c tanagerdeal -n "__fish_tanagerdeal_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand run" -l config -d 'Settings file' -r -F
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand run" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand check" -l config -d 'Settings file' -r -F
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand check" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand settings" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand serve" -l config -d 'Settings file' -r -F
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand serve" -l check -d 'Only test the settings file and list its settings'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand serve" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand completions" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand man" -s h -l help -d 'Print help'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "run" -d 'Serve clients'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "check" -d 'Test a settings file'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "settings" -d 'List all settings'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "serve" -d 'Serve clients on a platform whose store carries all coordination'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "completions" -d 'Print a shell completion'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "man" -d 'Print the manual page'
complete -c tanagerdeal -n "__fish_tanagerdeal_using_subcommand help; and not __fish_seen_subcommand_from run check settings serve completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
