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

  # Guards against a configuration that is late by one timeout for each open connection that is silent.
  @promise-configuration @failure-silent-connection
  Scenario: All open connections become silent, and only one watch is lost
    Given a store with 6 open connections of one client
    When the open connections become silent
    Then one watch of the configuration is lost, and the next one is answered

  # Guards against connections that are closed although they still deliver answers.
  @promise-configuration @failure-silent-connection
  Scenario: One connection becomes silent, and the others stay open
    Given a store with 6 open connections of one client
    When one of the open connections becomes silent
    And 6 calls are made at once, of which one gets no answer
    Then the client has opened 1 more connection

  # Guards against connections that are lost to the client after calls without an answer.
  @failure-store-down
  Scenario: All connections are used again after a store did not answer
    Given a store with 6 open connections of one client
    When the store answers nothing while 40 calls are made
    Then the next 40 calls are answered

  # Guards against a process that ends because connections are refused while calls wait for one.
  @failure-store-down
  Scenario: Calls wait for connections to a store that refuses them
    Given a store with 6 open connections of one client
    When the store refuses all connections while 40 calls are made
    Then all calls fail with "unreachable"
