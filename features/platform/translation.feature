@real-clock
Feature: An entry host speaks the users' published protocol
  What callers, hosts, machines and the operator exchange with an entry host is
  translated in one folder; the stand-in here speaks the protocol's own names.

  @promise-long-work
  Scenario: A submission runs on hosts, and its state is told
    Given the users' platform with 4 hosts and an entry host
    When a caller submits "00000000000000a1" with 6 tasks followed by 2 tasks
    Then the answer is 200
    And the caller is told that it is "completed" within 5 s
    And the caller is told that 0 submissions wait
    And every task has run once at the users' hosts

  @promise-long-work
  Scenario: A cancelled submission stops, and what is not known is told apart
    Given the users' platform with 4 hosts and an entry host
    When a caller submits "00000000000000a2" with tasks that last
    And the caller cancels "00000000000000a2"
    Then the answer is 200
    And the caller is told that it is "cancelled" within 3 s
    And nothing runs at the users' hosts within 3 s
    When the caller asks for "00000000000000ff"
    Then the answer is 410
    When the caller cancels "00000000000000ff"
    Then the answer is 410
    When the caller submits to a path of no queue
    Then the answer is 404
    When the caller submits "00000000000000a3" with a body that is none
    Then the answer is 400

  @promise-not-run
  Scenario: Before the first configuration nothing is accepted
    Given the users' platform without a configuration and an entry host
    When a caller submits "00000000000000a4" with 1 tasks followed by 1 tasks
    Then the answer is 503
    And the answer tells when to come back

  @promise-budget
  Scenario: A wave is carried out over the machines' interface and reported
    Given the users' platform with 4 hosts and an entry host
    When the operator declares wave 7 over all machines for 20 s with at most 2 down
    Then wave 7 is reported as "completed" within 15 s

  @promise-long-work
  Scenario: A ticket of the advice service is asked for and handed to the host
    Given the users' platform with 4 hosts and an entry host
    When a caller submits "00000000000000a5" to the advised queue with 3 tasks
    Then the answer is 200
    And the caller is told that it is "completed" within 5 s
