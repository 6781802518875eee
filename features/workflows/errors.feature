Feature: An error costs only what it belongs to
  One submission, one host or one stored entry must not end an entry host, and
  an error must not follow the leadership from one entry host to the next.

  # Guards against a placement pass that ends each leader in turn
  @promise-long-work
  Scenario: A submission that repeats a dependency very often runs like others
    Given 2 entry hosts and 4 hosts for workflows
    When a workflow whose second step names the first one 129000 times is submitted
    And a workflow of 4 tasks of 500 ms is submitted
    Then all are "completed" within 5 s
    And the run history has no violations

  # Guards against an error of one session that ends the process
  @promise-long-work
  Scenario: An error in one host's session leaves the others running
    Given 2 entry hosts and 4 hosts for workflows
    When the reports of one host cannot be handled
    And a workflow of 40 tasks of 500 ms is submitted
    Then it is "completed" within 12 s
    And the entry hosts have reported errors of "host session" only
    And the first leader still leads
    And the run history has no violations

  # Guards against an error in the leader's work that ends the process
  @promise-long-work
  Scenario: An error of the term ends the term, and the same process is elected again
    Given 1 entry hosts and 4 hosts for workflows
    When an unusable machine is listed for 3000 ms
    Then there is a new leader
    And the entry hosts have reported errors of "machine review" only
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 4 s

  # Guards against a leader that keeps its term without having taken over
  Scenario Outline: An activity without which a leader does nothing ends each term
    Given the errors of a term
    When its "<activity>" <fails> twice
    Then the term was ended <times> times

    Examples:
      | activity    | fails         | times |
      | taking over | can't be done | 2     |
      | placement   | fails         | 1     |

  # Guards against an error that follows the leadership
  @promise-long-work
  Scenario: The same error does not end leader after leader
    Given 3 entry hosts and 4 hosts for workflows
    When an unusable machine is listed for 20000 ms
    Then there were at most 4 leaders
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    And there were at most 4 leaders

  # Guards against an error of no known activity that leaves a leader without work
  @promise-long-work
  Scenario: After an error that no call handles, another entry host leads
    Given 2 entry hosts and 4 hosts for workflows
    When a workflow of 4 tasks of 2000 ms is submitted
    And the leader has an error that no call handles
    Then there is a new leader
    And it is "completed" within 4 s
    And the run history has no violations

  # Guards against a term that goes on after an error as an earlier one, without a term, has been counted
  @promise-long-work
  Scenario: An error of an entry host that doesn't lead isn't counted against its later term
    Given 2 entry hosts and 4 hosts for workflows
    When every entry host but the leader has had an error that no call handles
    And the leader is killed
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 6 s
    When the leader has an error that no call handles
    Then there is a new leader

  # Guards against a stored value that ends each leader in turn
  @promise-long-work
  Scenario: Stored values of the leader that cannot be read cost only themselves
    Given 3 entry hosts and 4 hosts for workflows
    When the store holds values of earlier leaders that cannot be read
    And a workflow of 4 tasks of 500 ms is submitted
    And the leader is killed
    And a workflow of 4 tasks of 500 ms is submitted
    Then all are "completed" within 6 s
    And the run history has no violations

  # Guards against a stored workflow that ends each leader in turn
  @promise-long-work
  Scenario: A workflow that cannot be handled is set aside, and the others go on
    Given 2 entry hosts and 4 hosts for workflows
    When the store holds workflows that cannot be handled
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    And the entry hosts have reported errors of "workflow" only
    And the first leader still leads

  # Guards against a call that throws and leaves its loop, or a flag, behind
  @promise-long-work @failure-lost-answer
  Scenario Outline: Calls that throw cost only themselves
    Given 3 entry hosts and 6 hosts for workflows
    When <percent> of 100 calls of the entry hosts throw for 20 s, while 20 workflows of 3 tasks are submitted
    Then all are "completed" within 20 s
    And the run history has no violations

    Examples:
      | percent |
      | 5       |
      | 30      |

  # Guards against a leader that is busy with starts which are refused at once
  @promise-long-work
  Scenario: Tasks that hosts refuse are not sent again at once
    Given 2 entry hosts and 4 hosts for workflows
    When a workflow of 1000 tasks that need more than they declare is submitted
    Then hosts refuse at most 200 starts a second for 10 s
    When a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 15 s
    And the run history has no violations

  # Guards against a value that the store rejects and that blocks all later writes
  @promise-long-work
  Scenario: Checkpoints that are too long to be stored leave other workflows alone
    Given 2 entry hosts and 4 hosts for workflows
    When a workflow of 40 tasks reports checkpoints of 100000 characters each
    And a workflow of 4 tasks of 500 ms is submitted
    Then it is "completed" within 3 s
    When the leader is killed
    Then all are "completed" within 20 s
    And the run history has no violations

  # Guards against a report whose handling takes a leader minutes
  @promise-long-work
  Scenario: A report of very many ends is handled in parts
    Given 2 entry hosts and 4 hosts for workflows
    When a workflow of 40 tasks of 500 ms is submitted
    And a report of one host adds 60000 ends of unknown runs
    Then the leader was busy for less than 2 s at a time
    And it is "completed" within 5 s

  # Guards against an end that is acknowledged without its effect because an
  # error occurs between the two
  @promise-long-work
  Scenario Outline: An error in what is learnt from the end of a run does not lose the end
    When a run of the only task of a workflow with one attempt ends as <kind>, and what is learnt from it throws
    Then its task is <phase>, and the workflow is <state>

    Examples:
      | kind   | phase   | state     |
      | done   | done    | completed |
      | failed | waiting | failed    |
