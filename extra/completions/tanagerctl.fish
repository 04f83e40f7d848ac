# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_tanagerctl_global_optspecs
    string join \n platform= config= json actor= wait-ms= h/help V/version
end

function __fish_tanagerctl_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_tanagerctl_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_tanagerctl_using_subcommand
    set -l cmd (__fish_tanagerctl_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -s V -l version -d 'Print version'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "get" -d 'Prints one record with its revision'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "list" -d 'Lists the records of a kind'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "history" -d 'Prints the changes of one record, oldest first'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "audit" -d 'Prints the audit trail, newest last'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "status" -d 'Prints the state of hosts, groups and limits'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "put" -d 'Creates or changes a record; fields that are not given are kept'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "withdraw" -d 'Removes a record'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "key" -d 'Creates a key for a customer and prints it once'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "domain" -d 'Takes a failure domain out of service, or back in'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "endpoint" -d 'Makes an endpoint leave, or serve again'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "move-primary" -d 'Moves the primary of a group away from its present endpoint'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "story" -d 'Prints what log files tell of a request, over all hosts in order of time'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "completions" -d 'Prints a completion script'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "man" -d 'Prints the man page'
complete -c tanagerctl -n "__fish_tanagerctl_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand get" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand list" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand history" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l limit -d 'Number of entries' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand audit" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand status" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l file -d 'JSON object with fields, read before the fields given' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l expect -d 'Revision that the record must have, 0 for absent [default: the one just read]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l change-id -d 'Identifies the change; repeat a change with the same id [default: random]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand put" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l expect -d 'Revision that the record must have, 0 for absent [default: the one just read]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l change-id -d 'Identifies the change; repeat a change with the same id [default: random]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand withdraw" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l expect -d 'Revision that the record must have, 0 for absent [default: the one just read]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l change-id -d 'Identifies the change; repeat a change with the same id [default: random]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand key" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l expect -d 'Revision that the record must have, 0 for absent [default: the one just read]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l change-id -d 'Identifies the change; repeat a change with the same id [default: random]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand domain" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l expect -d 'Revision that the record must have, 0 for absent [default: the one just read]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l change-id -d 'Identifies the change; repeat a change with the same id [default: random]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand endpoint" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand move-primary" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l request -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l around-ms -d 'Time around the request in which changes of its group and host are shown' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand story" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand completions" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -l platform -d 'Address of the platform [env: TANAGERDEAL_PLATFORM]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -l config -d 'INI file with section [platform], key address' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -l actor -d 'Who makes a change, for the audit trail [default: $USER]' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -l wait-ms -d 'How long to wait until a change is in effect, and for lost responses' -r
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -l json -d 'Print JSON instead of text'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand man" -s h -l help -d 'Print help'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "get" -d 'Prints one record with its revision'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "list" -d 'Lists the records of a kind'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "history" -d 'Prints the changes of one record, oldest first'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "audit" -d 'Prints the audit trail, newest last'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "status" -d 'Prints the state of hosts, groups and limits'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "put" -d 'Creates or changes a record; fields that are not given are kept'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "withdraw" -d 'Removes a record'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "key" -d 'Creates a key for a customer and prints it once'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "domain" -d 'Takes a failure domain out of service, or back in'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "endpoint" -d 'Makes an endpoint leave, or serve again'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "move-primary" -d 'Moves the primary of a group away from its present endpoint'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "story" -d 'Prints what log files tell of a request, over all hosts in order of time'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "completions" -d 'Prints a completion script'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "man" -d 'Prints the man page'
complete -c tanagerctl -n "__fish_tanagerctl_using_subcommand help; and not __fish_seen_subcommand_from get list history audit status put withdraw key domain endpoint move-primary story completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
