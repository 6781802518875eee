@real-clock
Feature: An entry host lives on with the machine that it runs on
  # Guards against an entry host that ends by itself because its log cannot be written.
  Scenario Outline: An output that fails costs only log lines
    Given an entry host whose standard output and error are <output>
    When its settings change 10 times
    Then it answers the readiness check
    And its metrics count log lines that were not written

    Examples:
      | output                    |
      | a full device             |
      | a file at its size limit  |
      | a pipe without its reader |

  # Guards against a signal that ends the process while it starts.
  Scenario Outline: A signal at the start is answered, not fatal
    Given an entry host that gets <signal> as soon as its program loads a module
    Then it answers the readiness check

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGUSR2 |
      | SIGALRM |

  # Guards against an entry host that ends because it starts while its settings file is replaced.
  Scenario Outline: An entry host waits for its settings file
    Given an entry host whose settings file is <content>
    When it gets SIGHUP and the settings file is complete
    Then it answers the readiness check

    Examples:
      | content  |
      | missing  |
      | empty    |
      | cut off  |

  Scenario: Metrics tell connections, memory and readings of the settings
    Given an entry host whose settings file is missing
    When it gets SIGHUP and the settings file is complete
    And 3 callers are connected
    Then its metrics have 3 connections, its heap and a reading of the settings

  Scenario: Settings that stay invalid are named in one line
    Given an entry host whose setting "bounds.stopMs" is "soon"
    Then it ends with code 2 and its last line names "bounds.stopMs"

  # Guards against a deployment that doesn't start because it doesn't name a bound.
  Scenario: Bounds, limits and optional services that are missing have defaults
    Given an entry host whose settings have no bounds, limits and zone
    Then it answers the readiness check

  # Guards against an entry host that ends because the process before it, or another program, holds a port.
  Scenario Outline: A port in use delays only its server
    Given another program listens on the port of the <server>
    When the entry host starts
    Then the other servers of the entry host answer
    And its metrics count an error of the <server> if they are served
    When the other program ends
    Then all servers of the entry host answer

    Examples:
      | server    |
      | callers   |
      | readiness |
      | metrics   |
