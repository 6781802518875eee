Feature: Entries that can't be read
  Entries that other programs write under the product's keys, and data that members send.

  Background:
    Given a control plane with 3 members

  # Guards against one entry that ends the process of every member that reads it.
  Scenario Outline: An entry of another program is ignored
    When another program writes '<value>' to the key "<key>"
    Then after 5 seconds an invalid entry is reported and no unexpected error
    And every pool has one leader

    Examples:
      | key                | value                                         |
      | members/other      | null                                          |
      | members/other      | {"id":"entry-1"}                              |
      | leaders/other      | 5                                             |
      | pools/other        | {"pool":"other","term":1,"unavailable":[null]} |
      | hosts/other        | []                                            |
      | waves/other        | {"id":"other"}                                |
      | jobs/dish-desk/one | null                                          |

  # Guards against a configuration that ends the process of every member that reads it.
  Scenario Outline: A configuration that can't be read is replaced by the active one
    When another program writes '<value>' to the key "config/current"
    Then after 5 seconds an invalid entry is reported and no unexpected error
    And the store holds revision 1 again

    Examples:
      | value                                                          |
      | null                                                           |
      | {"revision":900,"operationId":"x","author":"x","acceptedAt":1} |

  # Guards against a configuration that goes from member to member and ends each of them.
  Scenario: A configuration from another member that can't be read is ignored
    When member 1 receives the configuration '{"revision":900,"operationId":"x","profiles":[null]}' from another member
    Then after 5 seconds an invalid entry is reported and no unexpected error
    And revision 1 is active at the new members

  # Guards against one record by which the leader of a pool runs no job any more, without a log line.
  @known-red
  Scenario: A job record of an impossible term does not stop the other jobs of its pool
    When another program writes '{"id":"odd","operationId":"x","service":"dish-desk","pool":"dish-desk","team":"","state":"running","term":9000000000000000,"idempotent":true,"size":{"slots":1,"processors":1,"memoryMb":1,"accelerators":0},"runTimeMs":500,"submittedAt":1,"dueAt":1,"input":"","attempts":[{"number":1,"hostId":"nobody","term":9000000000000000,"startedAt":1}],"cause":""}' to the key "jobs/dish-desk/odd"
    Then a job submitted to "dish-desk" a second later is done within 20 seconds
