Feature: The build of the deploy file works wherever it is run

  # Guards against a program that isn't built, and so doesn't start, with modules of another kind of processor.
  Scenario Outline: Modules that the build can't use are installed anew
    Given a checkout whose modules are <modules>
    When the build of the deploy file runs
    Then it succeeds after <installs> installs

    Examples:
      | modules                               | installs |
      | missing                               | 1        |
      | of this kind of processor             | 0        |
      | of another kind of processor          | 1        |
      | older than the list of their versions | 1        |

  # Guards against a program of earlier code whose log doesn't tell it from today's.
  Scenario: The program tells the commit from which it was built
    When the program is built from this checkout
    Then it holds the commit of this checkout

  Scenario: A build that fails after an install fails
    Given a checkout whose modules can't be installed
    When the build of the deploy file runs
    Then it fails
