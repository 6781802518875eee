Feature: A full pool is shared by weight
  When organisations want more than a pool has, each gets its share, and what
  nobody claims goes to those that can use it.

  Scenario: One caller sends seven times its usual into a full pool
    Given a pool of 100 processors
    And organisations "hot" with weight 2, "warm" with weight 2 and "quiet" with weight 1
    And "hot" has 70 waiting workflows, "warm" has 10 and "quiet" has 1
    When the pool is filled and 40 workflows end one by one
    Then "quiet" was among the first 25 to start
    And "warm" was served before "hot" had more than 5 workflows more than "warm"

  Scenario: Two callers that want everything get room by their weights
    Given a pool of 100 processors
    And organisations "large" with weight 3, "small" with weight 1 and "idle" with weight 6
    And "large" has 200 waiting workflows, "small" has 100 and "idle" has 0
    When the pool is filled and 50 workflows end one by one
    Then "large" uses 3 times as much as "small", give or take one workflow

  Scenario: What nobody claims goes to the one that can use it
    Given a pool of 100 processors
    And organisations "hot" with weight 1, "warm" with weight 50 and "quiet" with weight 50
    And "hot" has 50 waiting workflows, "warm" has 1 and "quiet" has 0
    When the pool is filled and 0 workflows end one by one
    Then the pool is full

  Scenario: The dominant resource of each counts
    Given a pool of 100 processors
    And organisations "memory" with weight 1, "processors" with weight 1 and "idle" with weight 1
    And "memory" uses 60 % of the memory and "processors" uses 30 % of the processors
    When both want more
    Then "processors" is next

  Scenario: A caller that was idle collects no credit
    Given a pool of 100 processors
    And organisations "late" with weight 1, "early" with weight 1 and "idle" with weight 1
    And "late" has 0 waiting workflows, "early" has 200 and "idle" has 0
    When the pool is filled and 60 workflows end one by one
    And "late" submits 60 workflows
    And the pool is filled and 30 workflows end one by one
    Then "late" uses 1 times as much as "early", give or take one workflow

  Scenario: Work that can have value goes before work that cannot, owed work before other
    Given waiting workflows of one organisation, from the last to the first:
      | rank | beyond its rate |
      | 3    | yes             |
      | 3    | no              |
      | 2    | yes             |
      | 1    | yes             |
      | 2    | no              |
      | 1    | no              |
    Then they are placed in the reverse order
    And a late public workflow is placed before them

  Scenario: Without organisations the order is by urgency alone
    When the order of 200 random passes without organisations is computed
    Then each is that of their urgency

  Scenario Outline: A step wider than its organisation may run, or than a part of the pool, runs in waves
    Given a step of <tasks> tasks of 4000 thousandths of a processor
    When the organisation may have <cap> thousandths running in a pool of <pool>
    Then the step runs in <waves> waves

    Examples:
      | tasks | cap    | pool   | waves |
      | 8     | 0      | 200000 | 1     |
      | 8     | 16000  | 200000 | 2     |
      | 9     | 16000  | 200000 | 3     |
      | 8     | 2000   | 200000 | 8     |
      | 24    | 100000 | 160000 | 3     |
      | 24    | 0      | 0      | 1     |

  Scenario: A rate is that of some seconds, and credit for idling is bounded
    Given an organisation that is owed 10 submissions a second
    When it sends 40 at once after 60 s of silence
    Then all of them are owed
    When it sends 40 at once
    Then 11 of them are owed
    And it is beyond its rate for 100 ms
    When 1000 ms of silence pass
    And it sends 40 at once
    Then 10 of them are owed
