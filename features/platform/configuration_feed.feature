@real-clock
Feature: An accepted configuration reaches every entry host in time
  Entry hosts learn of a configuration through a watch of the store, over slow
  links and over connections that may have become silent.

  # Guards against a configuration that never takes effect because each transfer is aborted and restarted.
  @promise-configuration @failure-slow-link
  Scenario Outline: A configuration whose transfer takes longer than a call's timeout is received
    Given a store that takes <transfer> ms to transfer an answer
    When a client calls "<call>" for the configuration
    Then the configuration is received whole

    Examples:
      | call  | transfer |
      | list  | 2500     |
      | watch | 3000     |

  # Guards against an entry host that waits forever for the rest of an answer.
  @promise-configuration @failure-silent-connection
  Scenario: A transfer that stops halfway is given up
    Given a store whose answers stop halfway
    When a client calls "list" for the configuration
    Then the call fails with "answer-lost" within 2500 ms
