@real-clock
Feature: An answer that cannot be believed is no answer
  Services of the platform may answer anything, and other programs may answer at
  their addresses. Each such answer costs only its call.

  # Guards against tasks that run twice because a report that cannot be read counts as one in which nothing runs.
  @promise-long-work
  Scenario Outline: A host's answer without the fields of a host is lost
    Given a service that answers 200 with <body>
    When a client calls "hold" of the hosts
    Then the call fails with "no-answer"

    Examples:
      | body                                                  |
      |                                                       |
      | {"clockMs":5,"running":[["t",1                        |
      | []                                                    |
      | {}                                                    |
      | {"clockMs":-1,"running":[],"ended":[]}                |
      | {"clockMs":1e308,"running":[],"ended":[]}             |
      | {"clockMs":5,"running":"none","ended":[]}             |
      | {"clockMs":5,"running":[{"task":"t"}],"ended":[]}     |
      | {"clockMs":5,"running":[["t",1.5]],"ended":[]}        |
      | {"clockMs":5,"running":[],"ended":[[1e308,"t",1,"done",""]]} |
      | {"clockMs":5,"born":0.5,"running":[],"ended":[]}      |

  # Guards against an order that counts as carried out, a lost lease or an empty listing because of a foreign answer.
  Scenario Outline: An answer of another program is lost
    Given a service that answers 200 with <body>
    When a client calls "<call>"
    Then the call fails with "<failure>"

    Examples:
      | call     | body                                         | failure     |
      | start    | {"ok":true}                                  | no-answer   |
      | stop     | <html></html>                                | no-answer   |
      | list     | {}                                           | answer-lost |
      | list     | {"items":[{"key":"a"}],"storeRevision":5}    | answer-lost |
      | watch    | not JSON                                     | answer-lost |
      | watch    | {"events":[],"storeRevision":1e308}          | answer-lost |
      | get      | []                                           | answer-lost |
      | get      | {"key":"a","revision":1}                     | answer-lost |
      | list     | {"items":[{"key":"a","revision":1,"value":7}],"storeRevision":5} | answer-lost |
      | transact | {}                                           | answer-lost |
      | grant    | {"lease":"5/x y"}                            | answer-lost |
      | machines | {"machines":7}                               | no-answer   |
      | advise   | {"good":"all"}                               | no-answer   |

  # Guards against processes that end because a call throws, or rejects, for an address.
  Scenario Outline: Calls to an invalid address fail
    Given a service whose address is "<address>"
    When a client calls "<call>"
    Then the call fails with "<failure>"

    Examples:
      | address         | call     | failure     |
      | 127.0.0.1:90100 | hold     | unreachable |
      | 127.0.0.300:80  | hold     | unreachable |
      |                 | machines | refused     |
      |                 | advise   | no-answer   |
      | a b             | list     | unreachable |

  # Guards against entry hosts that read one list for ever and run out of memory.
  Scenario Outline: A list whose pages never end is given up
    Given a service that answers 200 with <body>
    When a client calls "<call>"
    Then the call fails with "<failure>"

    Examples:
      | call     | body                                                                        | failure     |
      | list     | {"items":[{"key":"a","revision":1}],"hasMore":true,"storeRevision":5}       | answer-lost |
      | list     | {"items":[{"key":"\ud800","revision":1}],"hasMore":true,"storeRevision":5}  | answer-lost |
      | machines | {"machines":[],"nextToken":"a"}                                             | no-answer   |

  # Guards against entry hosts that run out of memory because of one answer.
  Scenario: An answer that is too large is not read to its end, and a watch reads a listing instead
    Given a service whose answers never end
    When a client calls "get"
    Then the call fails with "answer-lost"
    And the client has read less than 32 MB
    When a client calls "watch"
    Then the prefix has to be listed again

  # Guards against entry hosts that run out of memory because an answer arrives in countless pieces, for as long as they arrive.
  Scenario: An answer in very small pieces is given up in time
    Given a service whose answers never end, in pieces of one byte
    When a client calls "get"
    Then the call fails with "answer-lost"

  # Guards against entry hosts that call a store without a pause, and use up its call rate and their processor.
  Scenario Outline: A store that ends each watch at once is called at a limited rate
    Given a store that answers each watch at once with <status>
    When a client follows a prefix for 1000 ms
    Then the service has received at most 50 calls

    Examples:
      | status |
      | 200    |
      | 410    |

  # Guards against a machine that counts as gone because its state is new.
  Scenario: A machine in a state that is not known is still listed
    Given a service that answers 200 with {"machines":[{"machine":"m1","state":"repair"},{"machine":"m2","state":"up"}]}
    When a client calls "machines"
    Then the answer lists 2 machines

  # Guards against calls that last for ever.
  Scenario: Interim answers do not extend a call
    Given a service that answers with interim answers only
    When a client calls "get"
    Then the call fails with "answer-lost"

  # Guards against entry hosts that run out of memory because of what other programs store beside the hosts.
  Scenario: The value of an oversized registration is not kept
    Given a service that stores a registration of 500000 bytes
    When a client calls "list"
    Then the listed entry is empty

  # Guards against leaders whose memory grows with every address that was ever registered.
  Scenario: Connections to addresses that are no longer called are closed
    Given a service that answers 200 with {"clockMs":5,"running":[],"ended":[]}
    When a client for at most 10 addresses calls 40 hosts, one after the other
    Then at most 10 connections are open

  # Guards against an acknowledgement that reaches another incarnation of a host.
  Scenario: An acknowledgement is sent only over a connection that has delivered a report
    Given a host that lists its ends
    When a client calls "hold" and acknowledges the ends of the report
    Then the host has received the acknowledgement
    When the host has closed its connections
    And a client calls "hold" and acknowledges the ends of the report
    Then the host has received no acknowledgement, as the report says

  # Guards against hold calls that fail unsent because the connection on which they
  # waited has just closed: the host then counts as lost.
  Scenario: A hold call that waits for a connection is sent although that one closes
    Given a host that lists its ends and leaves orders unanswered
    When a client calls "hold" while two orders use both connections, and acknowledges the ends of the report
    Then the host has received no acknowledgement, as the report says
