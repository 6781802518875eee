@real-clock
Feature: The process of an entry host

  # Guards against an entry host that doesn't start while the previous process still ends.
  Scenario: A port that is in use delays the start
    Given a program that listens on the callers' port
    When an entry host is started as a process
    And the program ends once the entry host has tried the port
    Then the entry host answers within 20 seconds

  # Guards against a process that ends with each error that no caller handles.
  Scenario Outline: An unexpected error does not end the process
    When an entry host is started as a process, with an unexpected error by "<call>"
    Then the entry host answers within 20 seconds
    And within 20 seconds it logs "unexpected error" because of "<origin>"
    And the entry host answers within 1 second

    Examples:
      | call                 | origin             |
      | Promise.reject(1) | unhandledRejection |
      | throw                | uncaughtException  |

  # Guards against a planned stop that a second signal cuts short.
  Scenario: A signal that is repeated does not cut a planned stop short
    Given an entry host is started as a process
    And the entry host answers within 20 seconds
    When it receives SIGTERM, and again 100 ms later
    Then it ends with code 0 within 20 seconds
    And it logs "end" because of "SIGTERM"
