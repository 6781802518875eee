@real-clock
Feature: Answers that can't be used
  Answers of the host list, the key-value service, the workers and the members, which are other programs.

  # Guards against an entry of the host list that ends the process of every member, or keeps it busy for good.
  Scenario Outline: An entry of the host list that can't be used is omitted
    Given a host list with one worker and the entry '<entry>'
    Then the host list has one worker and reports one invalid entry

    Examples:
      | entry                  |
      | null                   |
      | "worker"               |
      | {"id":"b"}             |
      | {"port":70000}         |
      | {"port":0}             |
      | {"address":"300.1.2.3"} |
      | {"address":"a b/"}     |
      | {"address":"ftp://a"}  |
      | {"address":""}         |
      | {"slots":1e300}        |
      | {"slots":-1}           |
      | {"id":"a"}             |

  # Guards against a host list that ends the process of every member.
  Scenario Outline: A host list of another format is not read
    Given a service that answers every call with '<answer>'
    Then reading the host list fails

    Examples:
      | answer |
      | null   |
      | 5      |
      | {}     |
      | "list" |

  # Guards against an answer of the store that ends the process of every member.
  Scenario Outline: An answer of another format is a lost answer of the key-value service
    Given a service that answers every call with '<answer>'
    Then a list, a watch, a swap, a transaction and a grant fail with "answer-lost"

    Examples:
      | answer                                                                |
      | null                                                                  |
      | {}                                                                    |
      | {"value":5}                                                           |
      | {"value":{}}                                                          |
      | {"value":{"revision":1,"entries":[null],"changes":[null]}}            |
      | {"value":{"revision":"1","entries":5,"changes":5,"compacted":false}}  |

  # Guards against a report that ends the process of the leader of the worker's pool.
  Scenario Outline: A report of another format is a lost answer of the worker
    Given a service that answers every call with '<answer>'
    Then a worker's report, the start and the order of a task fail with "connection-lost"

    Examples:
      | answer                     |
      | null                       |
      | {}                         |
      | {"hostId":"a","tasks":[5]} |

  # Guards against a profile with an extreme deadline, by which each request of its services fails.
  Scenario: A request with an extreme deadline is answered
    Given a service that answers every call with 'answer'
    Then a request with a deadline of 9007199254740992 ms is answered by the worker

  # Guards against an answer that grows until the process has no memory left.
  Scenario: An answer without an end is cut off
    Given a service whose answers have no end
    Then a worker's report fails with "connection-lost"

  # Guards against a request to a worker that ends the process of the entry host.
  Scenario Outline: A call to an address that can't be used fails
    Then a request to a worker at "<address>" fails with "connect-failed"
    And a call to a member at "<address>" fails

    Examples:
      | address         |
      | 127.0.0.1:70000 |
      | 300.1.2.3:80    |
      | a b:80          |
