@real-clock
Feature: Fault soak of entry processes

  @promise-graceful-stop @promise-not-run @failure-crash
  Scenario: A short list of faults breaks no promise
    When the soak plays seed 2 with 0.05 minutes of faults
    Then the soak finds no broken promise

  # Guards against a check that can't fail.
  Scenario: Each check finds its planted fault
    When the soak plays seed 3 with a planted fault for each check
    Then each check of the soak has found a broken promise
